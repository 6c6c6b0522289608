package io.burdockpin.core.batch.lead.place;

/**
 * Waits that have ended.
 *
 * @param paid number of tasks that started near their data after a wait
 * @param unpaid number of tasks that started far from their data although they had waited
 */
public record WaitCounts(int paid, int unpaid) {

}
