/** The time line program {@code burdock-timeline}. */
package io.burdockpin.timeline;
