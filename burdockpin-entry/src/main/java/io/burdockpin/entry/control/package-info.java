/** Links to the control members and the active configuration. */
package io.burdockpin.entry.control;
