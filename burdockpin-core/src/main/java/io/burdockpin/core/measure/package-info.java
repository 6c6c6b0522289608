/** The measures by which the firms compare planners. */
package io.burdockpin.core.measure;
