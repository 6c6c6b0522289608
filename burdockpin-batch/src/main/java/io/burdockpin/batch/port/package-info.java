/** What a front end provides and uses. */
package io.burdockpin.batch.port;
