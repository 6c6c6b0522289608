/** The files of a control member. */
package io.burdockpin.control.storage;
