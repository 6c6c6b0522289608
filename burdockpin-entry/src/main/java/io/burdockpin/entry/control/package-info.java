/** Links to the control members and the configuration in force. */
package io.burdockpin.entry.control;
