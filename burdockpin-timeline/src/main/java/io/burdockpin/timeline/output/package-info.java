/** Text, JSON and HTML. */
package io.burdockpin.timeline.output;
