/** Decisions on planned stops of hosts: campaigns, budgets and spare hosts. */
package io.burdockpin.core.maintenance;
