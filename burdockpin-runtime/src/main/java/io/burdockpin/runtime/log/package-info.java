/** Logging set-up. */
package io.burdockpin.runtime.log;
