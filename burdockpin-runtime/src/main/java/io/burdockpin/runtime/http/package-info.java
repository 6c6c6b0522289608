/** Shared HTTP routes and connection handling on top of Pekko HTTP. */
package io.burdockpin.runtime.http;
