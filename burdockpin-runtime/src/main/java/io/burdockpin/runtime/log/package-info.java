/** Logging configuration and format. */
package io.burdockpin.runtime.log;
