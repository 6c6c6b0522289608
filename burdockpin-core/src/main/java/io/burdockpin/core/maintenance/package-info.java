/** Planned maintenance of hosts: campaigns, availability budgets and spare hosts. */
package io.burdockpin.core.maintenance;
