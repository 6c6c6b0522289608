/** Events read from files, in causal order. */
package io.burdockpin.timeline.model;
