/** Links to other control members and sessions of entry hosts. */
package io.burdockpin.control.link;
