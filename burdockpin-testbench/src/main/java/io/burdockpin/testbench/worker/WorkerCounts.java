package io.burdockpin.testbench.worker;

/**
 * What a stand-in worker does now.
 *
 * @param running jobs running
 * @param refusedOrders orders refused because of an older epoch
 * @param entry the entry host it announces to
 */
public record WorkerCounts(int running, long refusedOrders, String entry) {

}
