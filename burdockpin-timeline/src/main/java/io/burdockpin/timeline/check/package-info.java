/** Checks that find broken promises in events. */
package io.burdockpin.timeline.check;
