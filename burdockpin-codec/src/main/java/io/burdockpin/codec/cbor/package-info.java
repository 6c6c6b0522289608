/** CBOR form of the batch scheduler's state, commands and calls. */
package io.burdockpin.codec.cbor;
