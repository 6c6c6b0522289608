/** The path of a request to a runner and back. */
package io.burdockpin.entry.router;
