/** Calls of the operator interface, with several entry hosts tried in turn. */
package io.burdockpin.operator.client;
