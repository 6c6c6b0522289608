/** HTTP server for health, readiness and metrics. */
package io.burdockpin.control.admin;
