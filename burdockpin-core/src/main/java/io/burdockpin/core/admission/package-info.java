/** Checks of requests before they are queued. */
package io.burdockpin.core.admission;
