/** HTTP routes and listeners that the programs share. */
package io.burdockpin.runtime.http;
