/** Health and metrics over HTTP. */
package io.burdockpin.control.admin;
