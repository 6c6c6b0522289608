/** Checks that a request passes before it is queued. */
package io.burdockpin.core.admission;
