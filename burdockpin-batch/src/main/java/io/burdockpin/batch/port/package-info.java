/** Protocols between the batch scheduler and its front end, runners and platform. */
package io.burdockpin.batch.port;
