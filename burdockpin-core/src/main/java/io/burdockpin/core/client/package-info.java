/** Messages between entry hosts and control members. */
package io.burdockpin.core.client;
