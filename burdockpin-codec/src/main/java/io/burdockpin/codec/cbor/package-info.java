/** CBOR codecs for the state, commands and calls of the batch scheduler. */
package io.burdockpin.codec.cbor;
