/** Settings of the entry program, with defaults and validation. */
package io.burdockpin.entry.cfg;
