/** Recording of the events of the entry program. */
package io.burdockpin.entry.event;
