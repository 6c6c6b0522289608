/** Reports of workers and orders for them. */
package io.burdockpin.entry.worker;
