/** The entry program. */
package io.burdockpin.entry;
