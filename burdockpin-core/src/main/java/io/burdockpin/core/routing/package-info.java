/** Queues of requests and the choice of the runner or entry host for a request. */
package io.burdockpin.core.routing;
