/** Events of the time line and the hybrid logical clock. */
package io.burdockpin.core.event;
