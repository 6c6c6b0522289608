/** Routing of requests to runners and of their responses back to the callers. */
package io.burdockpin.entry.router;
