/** Links to the other entry hosts. */
package io.burdockpin.entry.peer;
