/** Settings of the entry program. */
package io.burdockpin.entry.cfg;
