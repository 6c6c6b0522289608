/** Messages and calls between entry hosts and members of the control group. */
package io.burdockpin.core.client;
