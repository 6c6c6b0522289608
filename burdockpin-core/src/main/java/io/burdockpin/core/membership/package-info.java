/** Status of the entry hosts and the messages between them. */
package io.burdockpin.core.membership;
