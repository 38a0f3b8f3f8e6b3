#include "bench/slope.h"

#include <assert.h>
#include <gsl/gsl_fit.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>
#include <stdio.h>

void
slope_init(struct Slope *self, const char *name, const char *unit)
{
    self->name = name;
    self->unit = unit;
    self->count = 0;
}

void
slope_add(struct Slope *self, double size, double cost)
{
    assert(self->count < SLOPE_POINTS_MAX);
    self->sizes[self->count] = size;
    self->costs[self->count] = cost;
    self->count++;
}

void
slope_print_header(const char *title)
{
    printf("\n%s\n%-44s %12s %-22s %12s %8s  %s\n", title, "cost", "slope",
           "unit", "at size 0", "residual", "size: cost");
}

void
slope_print(const struct Slope *self)
{
    size_t count = (size_t)self->count;
    double intercept;
    double slope;
    double cov00;
    double cov01;
    double cov11;
    double sum_squares;
    double residual;

    assert(self->count > 2);
    gsl_fit_linear(self->sizes, 1, self->costs, 1, count, &intercept, &slope,
                   &cov00, &cov01, &cov11, &sum_squares);
    residual = sqrt(sum_squares / (self->count - 2)) /
               gsl_stats_mean(self->costs, 1, count);
    printf("%-44s %12.3f %-22s %12.0f %7.1f%% ", self->name, slope, self->unit,
           intercept, 100 * residual);
    for (int i = 0; i < self->count; i++) {
        printf(" %.0f: %.0f", self->sizes[i], self->costs[i]);
    }
    printf("\n");
    fflush(stdout);
}
