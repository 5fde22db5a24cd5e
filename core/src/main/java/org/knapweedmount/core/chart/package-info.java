/** State charts that are defined in resource files, validated when loaded, and interpreted at run time. */
package org.knapweedmount.core.chart;
