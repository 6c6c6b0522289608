/** Attempts of one request and the retry budget. */
package io.burdockpin.core.retry;
