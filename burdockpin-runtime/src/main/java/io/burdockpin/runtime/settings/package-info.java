/** Loading and validation of settings files. */
package io.burdockpin.runtime.settings;
