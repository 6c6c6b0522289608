/** Entry hosts, their state and the messages between them. */
package io.burdockpin.core.membership;
