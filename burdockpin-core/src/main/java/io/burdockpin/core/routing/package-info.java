/** Which runner or entry host takes a request. */
package io.burdockpin.core.routing;
