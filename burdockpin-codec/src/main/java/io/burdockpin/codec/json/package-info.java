/** JSON codecs. */
package io.burdockpin.codec.json;
