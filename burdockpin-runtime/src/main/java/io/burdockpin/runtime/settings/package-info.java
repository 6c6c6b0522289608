/** Loading and checking of settings files. */
package io.burdockpin.runtime.settings;
