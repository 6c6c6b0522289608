/** The tokens of this entry host. */
package io.burdockpin.entry.token;
