/** State charts kept in resource files, checked when they are loaded and interpreted at run time. */
package org.knapweedmount.core.chart;
