/** Events of the entry program. */
package io.burdockpin.entry.event;
