# Draws the figures of one run as SVG. Run in the folder of the .dat files.
set terminal svg size 900,540
set key outside
set grid

if (system("test -e decisions.dat && echo 1") eq "1") {
  set output "decisions.svg"
  set logscale xy
  set xlabel "workers"
  set ylabel "mean decision time (us)"
  plot for [p in "packing first-fit least-loaded random"] \
    "< grep -E '^[0-9]+ +".p." +nearly_full' decisions.dat" using 1:5 with linespoints title p
  unset logscale
}
if (system("test -e requests.dat && echo 1") eq "1") {
  set output "requests.svg"
  set xlabel "offered load (times capacity)"
  set ylabel "goodput (part of capacity)"
  plot for [v in "dispatcher plain_queue split_2 split_4"] \
    "< grep -E '^[0-9.]+ +".v."' requests.dat" using 1:4 with linespoints title v
}
if (system("test -e waiting.dat && echo 1") eq "1") {
  set xlabel "offered load (times capacity)"
  set ylabel "p99 wait of deadline work (s)"
  set logscale x
  do for [s in "rendering labels"] {
    set output "waiting_".s.".svg"
    plot for [p in "fair-share deadline-share"] \
      "< grep -E '^".s." +[0-9.]+ +peaks +".p." +packing +false' waiting.dat" using 2:13 \
      with linespoints title p, \
      for [p in "first-fit least-loaded random"] \
      "< grep -E '^".s." +[0-9.]+ +peaks +fifo +".p." ' waiting.dat" using 2:13 \
      with linespoints title "fifo ".p
  }
}
