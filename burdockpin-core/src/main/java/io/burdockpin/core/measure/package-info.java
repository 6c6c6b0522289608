/** Measures of scheduling quality, used to compare planners. */
package io.burdockpin.core.measure;
