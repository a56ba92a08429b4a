# gnuplot docs/measurements/policies.gp   (from the root; reads docs/measurements/policies.csv)
set terminal svg size 900,640 background rgb "white"
set datafile separator ","
set key outside right
set xlabel "nominal load, per cent of the capacity"
set xrange [48:87]
set xtics (50, 70, 85)
set logscale y
policies = "credits credits_fcfs random round_robin two_choices probing"
file = "docs/measurements/policies.csv"
# Rows of one policy without faults; bursts have no single load.
pick(name, y) = (strcol("policy") eq name && strcol("fault") eq "none" && strcol("load") ne "burst") ? y : NaN

set output "docs/measurements/slowdown.svg"
set multiplot layout 2,1
set ylabel "mean slowdown"
plot for [name in policies] file using (column("load")):(pick(name, column("slowdown_mean"))) with points pt 7 ps 0.9 title name noenhanced
set ylabel "p99 slowdown"
plot for [name in policies] file using (column("load")):(pick(name, column("slowdown_p99"))) with points pt 7 ps 0.9 title name noenhanced
unset multiplot

set output "docs/measurements/wasted.svg"
set ylabel "wasted messages per task"
plot for [name in policies] file using (column("load")):(pick(name, column("wasted_per_task"))) with points pt 7 ps 0.9 title name noenhanced, \
  0.05 with lines dashtype 2 lc rgb "black" title "aim"
