/** Storage of a control member: identity, vote, log and snapshots. */
package io.burdockpin.control.storage;
