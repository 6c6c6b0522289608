/** Attempts and claims of requests, and the retry budget. */
package io.burdockpin.core.retry;
