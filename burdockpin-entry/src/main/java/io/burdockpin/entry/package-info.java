/** The entry program {@code burdock-entry}: its main class and root actor. */
package io.burdockpin.entry;
