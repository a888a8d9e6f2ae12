package io.verbenatrack.fleet.model;

import java.util.Optional;

import io.verbenatrack.model.AccountId;

/**
 * The learned run times of a class of runs: a regression of the logarithm of the run time
 * on the logarithm of the caller's estimate. All numbers are in ten-thousandths.
 *
 * @param queue the name of the queue
 * @param account the client account, or empty for all accounts of the queue
 * @param weight the weight of the samples that are not forgotten
 * @param estimate the mean logarithm of the caller's estimate in milliseconds
 * @param time the mean logarithm of the run time in milliseconds at speed 1
 * @param variance the variance of the logarithm of the estimate
 * @param covariance the covariance of both logarithms
 * @param callerError the mean absolute error of the caller's estimate
 * @param learnedError the mean absolute error of the learned run time
 * @param callerTail the 0.9 quantile of the error of the caller's estimate
 * @param learnedTail the 0.9 quantile of the error of the learned run time
 * @param used whether forecasts use the learned run time
 */
public record ClassRunTimes(String queue, Optional<AccountId> account, int weight, int estimate, int time, int variance,
		int covariance, int callerError, int learnedError, int callerTail, int learnedTail, boolean used) {

}
